// Command shedkeel-keeper is described by its own --help.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Keeper() }
