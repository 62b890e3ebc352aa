package aubprocess

import "fmt"

// SettingError is returned when a role can't run with the value of a setting.
type SettingError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Path, e.Reason) }

// ListenError is returned for an address on which the local site must not listen.
type ListenError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("--listen %q: %s", e.Address, e.Reason)
}
