// Command shedkeel operates a fleet through any of its keepers or nodes. Its --help
// lists the flags.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Operator() }
