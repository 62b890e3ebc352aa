package aubprocess

import "fmt"

// SettingError says that a role can't run with a setting.
type SettingError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %s", e.Path, e.Reason) }

// ListenError says that a local site can't listen at an address.
type ListenError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("--listen %q: %s", e.Address, e.Reason)
}
