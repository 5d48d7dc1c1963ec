package intake

// headScanner follows the bytes of a connection to the end of a request's head. The zero value stands
// before a head.
type headScanner struct {
	bytes     int  // of the head, and of empty lines before it
	lines     int  // of the head, with its last one, which is empty
	lineBytes int  // of the current line, without its end
	begun     bool // a line that isn't empty has begun
	ended     bool
}

// scan takes further bytes of the connection. It ignores those after the head.
func (scanner *headScanner) scan(data []byte) {
	for _, char := range data {
		if scanner.ended {
			return
		}
		scanner.bytes++
		switch char {
		case '\r':
		case '\n':
			scanner.endLine()
		default:
			scanner.begun = true
			scanner.lineBytes++
		}
	}
}

// endLine ends the current line. An empty one ends the head, unless it stands before its first line.
func (scanner *headScanner) endLine() {
	scanner.lines++
	scanner.ended = scanner.begun && scanner.lineBytes == 0
	scanner.lineBytes = 0
}
