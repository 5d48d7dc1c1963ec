// Command shedkeel-standin runs stand-ins for the systems that shedkeel depends on, for
// tests and the demo. Its --help lists the flags.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Standin() }
