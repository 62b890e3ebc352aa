package aubapi

// Snapshot is the complete replicated state of a site at one moment, for a restore.
type Snapshot struct {
	Instance string `json:"instance" yaml:"instance"`
	// Data is opaque; in JSON it is encoded in base64.
	Data []byte `json:"data" yaml:"data"`
}
