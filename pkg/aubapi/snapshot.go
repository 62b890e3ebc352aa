package aubapi

// Snapshot is the whole replicated state of a site at one moment, for a restore.
type Snapshot struct {
	Instance string `json:"instance" yaml:"instance"`
	// Data is opaque; JSON carries it in base64.
	Data []byte `json:"data" yaml:"data"`
}
