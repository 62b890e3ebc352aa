// Package auboption provides values that may be missing.
package auboption

// Option is a value or nothing. The zero value is nothing.
type Option[T any] struct {
	value T
	isSet bool
}

// Some returns an option with the value.
func Some[T any](value T) Option[T] { return Option[T]{value: value, isSet: true} }

// None returns an option without a value.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (value T, ok bool) { return o.value, o.isSet }

// Or returns the value, or the fallback if there is none.
func (o Option[T]) Or(fallback T) T {
	if o.isSet {
		return o.value
	}
	return fallback
}
