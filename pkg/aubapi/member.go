package aubapi

// ConfirmedHeader is the response header that is "false" when the response may be older
// than the control leader's state.
const ConfirmedHeader = "Config-Confirmed"

// Member describes one process of the site.
type Member struct {
	Name string `json:"name" yaml:"name"`
	// Role is entry, control or agent.
	Role    string `json:"role" yaml:"role"`
	Zone    string `json:"zone" yaml:"zone"`
	Address string `json:"address" yaml:"address"`
	// Incarnation increases with every start of the process.
	Incarnation uint64 `json:"incarnation" yaml:"incarnation"`
	// Leaving processes are draining and accept no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// Lost members stopped sending announcements without leaving.
	Lost bool `json:"lost,omitempty" yaml:"lost,omitempty"`
	// ConfigVersion is the version of the configuration that is active in the process.
	ConfigVersion uint64 `json:"config_version" yaml:"config_version"`
	// HeardAgoMS is the time since the newest announcement was received, in milliseconds.
	HeardAgoMS int64 `json:"heard_ago_ms" yaml:"heard_ago_ms"`
}

// KeyInfo holds the fields of a key that may be shown to operators.
type KeyInfo struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Withdrawn bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// ConfigVersion identifies one version of the configuration.
type ConfigVersion struct {
	Version uint64 `json:"version" yaml:"version"`
	// Digest is the hex encoded digest of the content.
	Digest string `json:"digest" yaml:"digest"`
}
