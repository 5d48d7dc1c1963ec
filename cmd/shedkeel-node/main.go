// Command shedkeel-node serves callers and controls replica groups on an entry box. Its
// --help lists the flags.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Node() }
