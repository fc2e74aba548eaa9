// Package defaulter sets defaults for configuration fields that are zero.
package defaulter

// Set sets *field to value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
