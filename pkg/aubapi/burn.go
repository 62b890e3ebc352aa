package aubapi

// Objective names one service-level objective.
type Objective string

// Service-level objectives.
const (
	// ObjectiveFirstToken counts responses by the time to their first token.
	ObjectiveFirstToken Objective = "first_token"
	// ObjectiveInterToken counts tokens by the time since the previous token.
	ObjectiveInterToken Objective = "inter_token"
	// ObjectiveAvailability counts requests by whether they were served without a
	// server error.
	ObjectiveAvailability Objective = "availability"
	// ObjectiveWithinRate counts requests within the workspace's rate by whether they
	// were refused.
	ObjectiveWithinRate Objective = "within_rate"
)

// BurnCounts holds one instance's counts of good and bad events for its objectives.
type BurnCounts struct {
	Instance string     `json:"instance" yaml:"instance"`
	Flows    []BurnFlow `json:"flows" yaml:"flows"`
}

// BurnFlow holds the counts of one objective for one workspace on one route or model.
type BurnFlow struct {
	Workspace string    `json:"workspace" yaml:"workspace"`
	Route     string    `json:"route" yaml:"route"`
	Objective Objective `json:"objective" yaml:"objective"`
	// Target is the share of events that must be good, below 1.
	Target  float64      `json:"target" yaml:"target"`
	Windows []BurnWindow `json:"windows" yaml:"windows"`
}

// BurnWindow holds the counts of a time window that ends now.
type BurnWindow struct {
	Seconds int64 `json:"seconds" yaml:"seconds"`
	Good    int64 `json:"good" yaml:"good"`
	Bad     int64 `json:"bad" yaml:"bad"`
}
