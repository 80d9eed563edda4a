// Package jujubedefault provides default values for settings.
package jujubedefault

// Set sets a field to a default value if it has the zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
