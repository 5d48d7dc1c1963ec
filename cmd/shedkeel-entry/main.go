// Command shedkeel-entry serves callers on an entry box. Its --help lists the flags.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Entry() }
