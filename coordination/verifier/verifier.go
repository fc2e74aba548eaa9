// Package verifier decides whether a response is complete.
package verifier

// Framing is the way in which a response marks the end of its body.
type Framing int

// Ways to mark the end of a body.
const (
	ByConnection Framing = iota // The body ends with its connection.
	ByLength                    // The header holds the length, or rules out a body.
	ByChunks                    // The body ends with an empty chunk.
)

// String returns the name of the framing in logs.
func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case ByChunks:
		return "chunks"
	default:
		return "connection"
	}
}
