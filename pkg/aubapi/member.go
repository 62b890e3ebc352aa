package aubapi

// ConfirmedHeader of an answer is false when the answer may be older than the
// control leader's state.
const ConfirmedHeader = "Config-Confirmed"

// Member is what the site knows of one of its processes.
type Member struct {
	Name string `json:"name" yaml:"name"`
	// Role is entry, control or agent.
	Role    string `json:"role" yaml:"role"`
	Zone    string `json:"zone" yaml:"zone"`
	Address string `json:"address" yaml:"address"`
	// Incarnation grows with every start of the process.
	Incarnation uint64 `json:"incarnation" yaml:"incarnation"`
	Leaving     bool   `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// Lost members fell silent without leaving.
	Lost bool `json:"lost,omitempty" yaml:"lost,omitempty"`
	// ConfigVersion is the newest configuration that the process confirmed.
	ConfigVersion uint64 `json:"config_version" yaml:"config_version"`
	// HeardAgoMS is the age of the newest announcement, in milliseconds.
	HeardAgoMS int64 `json:"heard_ago_ms" yaml:"heard_ago_ms"`
}

// KeyInfo is what may be shown of a stored key.
type KeyInfo struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Withdrawn bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// ConfigVersion names one version of the configuration.
type ConfigVersion struct {
	Version uint64 `json:"version" yaml:"version"`
	// Digest identifies the content, hex encoded.
	Digest string `json:"digest" yaml:"digest"`
}
