package aubmembership

import (
	"errors"
	"net/netip"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Default values of the options.
const (
	DefaultInterval = time.Second
	DefaultTimeout  = 4 * time.Second
	// DefaultBudget is the send budget in bytes per second.
	DefaultBudget = 8192
)

// MembershipOpts are the options of NewMembership.
type MembershipOpts struct {
	// Listen is the local UDP address, ip:port.
	Listen string
	// Seeds are the membership addresses of all entries and control instances, ip:port.
	Seeds []string
	// Secret authenticates datagrams; all processes of a site share it.
	Secret []byte
	// Self returns the announcement of this process; Membership sets its sequence.
	// It is called from the membership's goroutine and must not block.
	Self func() *aubwire.Announcement
	// Interval is the time between announcements; 0 means DefaultInterval.
	Interval time.Duration
	// Timeout is the time without announcements after which a member is lost; 0
	// means DefaultTimeout.
	Timeout time.Duration
	// Budget is the maximum number of bytes sent within any second, including IP
	// and UDP headers; 0 means DefaultBudget.
	Budget int
}

var (
	errMissing         = errors.New("must be set")
	errTimeoutTooShort = errors.New("must be at least three intervals")
	errBudgetTooLow    = errors.New("must hold at least two datagrams")
)

func (o MembershipOpts) withDefaults() MembershipOpts {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Budget == 0 {
		o.Budget = DefaultBudget
	}
	return o
}

// check validates the options. Errors are *OptsError.
func (o MembershipOpts) check() error {
	switch {
	case len(o.Secret) == 0:
		return &OptsError{Field: "secret", Err: errMissing}
	case o.Self == nil:
		return &OptsError{Field: "self", Err: errMissing}
	case o.Timeout < 3*o.Interval:
		return &OptsError{Field: "timeout", Err: errTimeoutTooShort}
	case o.Budget < 2*(MaxDatagramBytes+datagramOverheadBytes):
		return &OptsError{Field: "budget", Err: errBudgetTooLow}
	}
	if _, err := netip.ParseAddrPort(o.Listen); err != nil {
		return &OptsError{Field: "listen", Err: err}
	}
	for _, seed := range o.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return &OptsError{Field: "seeds", Err: err}
		}
	}
	return nil
}
