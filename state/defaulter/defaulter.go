// Package defaulter fills in the settings that a caller leaves at zero.
package defaulter

// Set gives *field the value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
