package aubapi

// ObjectID identifies one configuration object.
type ObjectID struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`
}

// Ticket is one numbered change of the configuration. It contains the complete new
// state of every object that it sets and is applied completely or not at all.
type Ticket struct {
	Number     uint64      `json:"number" yaml:"number"`
	Workspaces []Workspace `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	Keys       []Key       `json:"keys,omitempty" yaml:"keys,omitempty"`
	Models     []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters   []Adapter   `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Routes     []Route     `json:"routes,omitempty" yaml:"routes,omitempty"`
	Remove     []ObjectID  `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// TicketStatus is the final outcome of a ticket.
type TicketStatus string

// Outcomes of a ticket.
const (
	// TicketAccepted means that the ticket changed the configuration.
	TicketAccepted TicketStatus = "accepted"
	// TicketConflict means that the number was first used with other content.
	TicketConflict TicketStatus = "conflict"
	// TicketSuperseded means that a ticket with the same or a higher number has changed
	// one of the objects, or that the number is below those whose outcomes are kept.
	TicketSuperseded TicketStatus = "superseded"
	// TicketInvalid means that the content or a reference to another object is invalid.
	TicketInvalid TicketStatus = "invalid"
)

// TicketOutcome is the recorded outcome of a ticket. A resent ticket with the same
// number and content gets the same outcome.
type TicketOutcome struct {
	Number uint64       `json:"number" yaml:"number"`
	Status TicketStatus `json:"status" yaml:"status"`
	// Version is the configuration version that the ticket produced; 0 unless accepted.
	Version uint64 `json:"version,omitempty" yaml:"version,omitempty"`
	// Faults lists every fault of an invalid, superseded or conflicting ticket.
	Faults []Fault `json:"faults,omitempty" yaml:"faults,omitempty"`
	// InForce is true when every known process confirmed the version. It is set only
	// for requests that wait for this.
	InForce bool `json:"in_force,omitempty" yaml:"in_force,omitempty"`
	// Unconfirmed lists the known processes that have not confirmed the version.
	Unconfirmed []string `json:"unconfirmed,omitempty" yaml:"unconfirmed,omitempty"`
}

// Fault is one error in an input.
type Fault struct {
	// Path is the position in the document, such as models[2].memory_bytes.
	Path string `json:"path" yaml:"path"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason" yaml:"reason"`
}
