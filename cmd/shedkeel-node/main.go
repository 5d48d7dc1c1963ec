// Command shedkeel-node is described by its own --help.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Node() }
