package aubcommand

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Limits on the content of one ticket.
const (
	// MaxTicketNumber is the highest ticket number: the largest integer that JSON readers
	// with 64-bit floats represent exactly.
	MaxTicketNumber = 1<<53 - 1
	// MaxTicketObjects is the maximum number of objects that one ticket sets or removes.
	MaxTicketObjects = 10_000

	maxTokens          = 1 << 50
	maxWeight          = 1_000_000
	maxCopies          = 10_000
	maxDurationSeconds = 7 * 24 * 3600
	maxMemoryBytes     = 1 << 50
	maxWorkspaces      = 10_000
	maxPrefixBytes     = 1024
	keyLookupBytes     = 4
	keySaltMinBytes    = 16
	keySaltMaxBytes    = 64
	keyHashBytes       = 32
)

// namePattern also matches names from model hubs, which contain slashes, colons and
// at signs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$`)

const nameRule = "a name has 1 to 128 letters, digits and . _ : / @ -, and begins with a letter or digit"

// reservedPrefixes are the paths of the system's own HTTP interfaces, which no route
// may cover.
var reservedPrefixes = []string{"/v1", "/admin", "/healthz", "/readyz", "/metrics"}

// CheckTicket returns every fault of the ticket that can be found without the
// configuration. The result depends only on the content, so a resent ticket gets
// the same faults.
func CheckTicket(t aubapi.Ticket) []aubapi.Fault {
	c := &ticketChecker{}
	c.checkBounds(t)
	for i, w := range t.Workspaces {
		c.checkWorkspace(fmt.Sprintf("workspaces[%d]", i), w)
	}
	for i, k := range t.Keys {
		c.checkKey(fmt.Sprintf("keys[%d]", i), k)
	}
	for i, m := range t.Models {
		c.checkModel(fmt.Sprintf("models[%d]", i), m)
	}
	for i, a := range t.Adapters {
		c.checkAdapter(fmt.Sprintf("adapters[%d]", i), a)
	}
	for i, r := range t.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), r)
	}
	for i, id := range t.Remove {
		c.checkRemoval(fmt.Sprintf("remove[%d]", i), id)
	}
	return c.faults
}

// ticketChecker collects the faults of a ticket.
type ticketChecker struct {
	faults []aubapi.Fault
	// seen holds the path at which each object first occurs in the ticket.
	seen map[aubapi.ObjectID]string
}

func (c *ticketChecker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, aubapi.Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *ticketChecker) checkBounds(t aubapi.Ticket) {
	if t.Number < 1 || t.Number > MaxTicketNumber {
		c.addFault("number", "is %d; allowed is 1 to %d", t.Number, uint64(MaxTicketNumber))
	}
	n := len(TouchedIDs(t))
	if n == 0 {
		c.addFault("", "the ticket touches no object")
	}
	if n > MaxTicketObjects {
		c.addFault("", "the ticket touches %d objects; allowed are %d", n, MaxTicketObjects)
	}
}

func (c *ticketChecker) checkWorkspace(path string, w aubapi.Workspace) {
	c.checkID(path, aubapi.KindWorkspace, w.Name)
	c.checkRange(path+".rate", w.Rate, 1, maxTokens)
	c.checkRange(path+".burst", w.Burst, 1, maxTokens)
	c.checkRange(path+".weight", w.Weight, 0, maxWeight)
	switch w.CutOff {
	case "", aubapi.CutOffServe:
		if w.CutOffBound != 0 {
			c.addFault(path+".cut_off_bound_seconds", "is %d; it has a meaning only with cut_off refuse", w.CutOffBound)
		}
	case aubapi.CutOffRefuse:
		c.checkRange(path+".cut_off_bound_seconds", w.CutOffBound, 1, maxDurationSeconds)
	default:
		c.addFault(path+".cut_off", "is %q; allowed are serve and refuse", w.CutOff)
	}
}

func (c *ticketChecker) checkKey(path string, k aubapi.Key) {
	c.checkID(path, aubapi.KindKey, k.Name)
	c.checkName(path+".workspace", k.Workspace)
	c.checkHex(path+".lookup", k.Lookup, keyLookupBytes, keyLookupBytes)
	c.checkHex(path+".salt", k.Salt, keySaltMinBytes, keySaltMaxBytes)
	c.checkHex(path+".hash", k.Hash, keyHashBytes, keyHashBytes)
}

func (c *ticketChecker) checkModel(path string, m aubapi.Model) {
	c.checkID(path, aubapi.KindModel, m.Name)
	c.checkRange(path+".memory_bytes", m.MemoryBytes, 1, maxMemoryBytes)
	c.checkRange(path+".max_output_tokens", m.MaxOutputTokens, 0, maxTokens)
	c.checkRange(path+".bytes_per_token", m.BytesPerToken, 0, maxTokens)
	c.checkRange(path+".copies", int64(m.Copies), 0, maxCopies)
	c.checkWorkspaces(path, m.Workspaces)
}

func (c *ticketChecker) checkAdapter(path string, a aubapi.Adapter) {
	c.checkID(path, aubapi.KindAdapter, a.Name)
	c.checkName(path+".model", a.Model)
	c.checkRange(path+".memory_bytes", a.MemoryBytes, 1, maxMemoryBytes)
	c.checkWorkspaces(path, a.Workspaces)
}

func (c *ticketChecker) checkRoute(path string, r aubapi.Route) {
	c.checkID(path, aubapi.KindRoute, r.Name)
	c.checkPrefix(path+".prefix", r.Prefix)
	c.checkName(path+".service", r.Service)
	c.checkRange(path+".cost", r.Cost, 0, maxTokens)
	c.checkRange(path+".timeout_seconds", r.TimeoutSeconds, 0, maxDurationSeconds)
	if !r.Open {
		c.checkWorkspaces(path, r.Workspaces)
		return
	}
	if len(r.Workspaces) > 0 {
		c.addFault(path+".workspaces", "an open route answers everyone and names no workspaces")
	}
	if r.Cost > 0 {
		c.addFault(path+".cost", "an open route has no workspace that could pay")
	}
}

func (c *ticketChecker) checkRemoval(path string, id aubapi.ObjectID) {
	switch id.Kind {
	case aubapi.KindWorkspace, aubapi.KindKey, aubapi.KindModel, aubapi.KindAdapter, aubapi.KindRoute:
		c.checkID(path, id.Kind, id.Name)
	default:
		c.addFault(path+".kind", "is %q; allowed are workspace, key, model, adapter and route", id.Kind)
	}
}

// checkID checks the name, and that the object occurs only once in the ticket.
func (c *ticketChecker) checkID(path string, kind aubapi.Kind, name string) {
	c.checkName(path+".name", name)
	id := aubapi.ObjectID{Kind: kind, Name: name}
	if firstPath, ok := c.seen[id]; ok {
		c.addFault(path+".name", "%s %q stands in %s already", kind, name, firstPath)
		return
	}
	if c.seen == nil {
		c.seen = make(map[aubapi.ObjectID]string)
	}
	c.seen[id] = path
}

func (c *ticketChecker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(path, "is %q; %s", name, nameRule)
	}
}

func (c *ticketChecker) checkRange(path string, n, low, high int64) {
	if n < low || n > high {
		c.addFault(path, "is %d; allowed is %d to %d", n, low, high)
	}
}

func (c *ticketChecker) checkHex(path, text string, minBytes, maxBytes int) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) < minBytes || len(data) > maxBytes {
		c.addFault(path, "is not the hex form of %d to %d bytes; take the output of auburndale key new", minBytes, maxBytes)
	}
}

func (c *ticketChecker) checkWorkspaces(path string, names []string) {
	if len(names) == 0 || len(names) > maxWorkspaces {
		c.addFault(path+".workspaces", "names %d workspaces; allowed are 1 to %d, or %q for all", len(names), maxWorkspaces, aubapi.AnyWorkspace)
	}
	for i, name := range names {
		if name != aubapi.AnyWorkspace {
			c.checkName(fmt.Sprintf("%s.workspaces[%d]", path, i), name)
		}
	}
}

func (c *ticketChecker) checkPrefix(path, prefix string) {
	if !strings.HasPrefix(prefix, "/") || len(prefix) < 2 || len(prefix) > maxPrefixBytes {
		c.addFault(path, "is %q; a prefix begins with a slash and has 2 to %d bytes", prefix, maxPrefixBytes)
		return
	}
	if strings.ContainsAny(prefix, "?#%\\ ") || strings.Contains(prefix, "//") || hasDotSegment(prefix) {
		c.addFault(path, "is %q; a prefix has no ? # %% \\, no space, no empty segment and no dot segment", prefix)
	}
	for _, reserved := range reservedPrefixes {
		if prefix == reserved || strings.HasPrefix(prefix, reserved+"/") {
			c.addFault(path, "is %q; paths below %s belong to the system", prefix, reserved)
		}
	}
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
