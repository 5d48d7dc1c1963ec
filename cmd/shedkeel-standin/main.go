// Command shedkeel-standin is described by its own --help.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Standin() }
