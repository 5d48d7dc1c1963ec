// Command shedkeel-keeper controls replica groups from an entry box. Its --help lists
// the flags.
package main

import "shedkeel.org/shedkeel/program"

func main() { program.Keeper() }
