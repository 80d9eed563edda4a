// Package jujubedefault fills in settings that were left at zero.
package jujubedefault

// Set gives a field its default when it has the zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
