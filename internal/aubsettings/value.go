package aubsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/dustin/go-humanize"
)

// Duration is a duration written with its unit, such as 250ms.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || isPlainNumber(string(text)) {
		return errors.New("allowed: a duration with its unit, such as 250ms or 20s")
	}
	if v < 0 {
		return errors.New("allowed: a duration of 0s or more")
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Size is a number of bytes written with its unit, such as 16MiB.
type Size int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	v, err := humanize.ParseBytes(string(text))
	if err != nil || isPlainNumber(string(text)) || v > 1<<62 {
		return errors.New("allowed: a size with its unit, such as 512KiB or 16GiB")
	}
	*s = Size(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(humanize.IBytes(uint64(s))), nil }

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 { return int64(s) }

// Address is an IP address and a port.
type Address string

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return errors.New("allowed: an IP number and a port, such as 10.0.0.7:7000")
	}
	*a = Address(text)
	return nil
}

// String returns the address as host:port.
func (a Address) String() string { return string(a) }

// Addresses converts a list of addresses to strings.
func Addresses(list []Address) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}

// Fraction is a share from 0 to 1.
type Fraction float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fraction) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || v < 0 || v > 1 {
		return errors.New("allowed: a number from 0 to 1")
	}
	*f = Fraction(v)
	return nil
}

// Choice is one of the values in the setting's allowed tag.
type Choice string

// Fault describes one invalid setting of a settings file or site plan.
type Fault struct {
	// Line is the line in the file, counted from 1. A setting that is not in the file
	// has the line of its group, or 1.
	Line int
	// Path is the dotted path of the setting.
	Path string
	// Value is the text of the setting in the file.
	Value string
	// Message names the allowed values or says what else is wrong.
	Message string
}

// String returns the fault in one line, with its position.
func (f Fault) String() string {
	if f.Value == "" {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %q: %s", f.Line, f.Path, f.Value, f.Message)
}

// FaultsError lists all faults of a settings file or site plan.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	text := fmt.Sprintf("settings file %s has %d faults", e.File, len(e.Faults))
	for _, f := range e.Faults {
		text += "\n  " + f.String()
	}
	return text
}

func isPlainNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}
