// Package aubexample embeds the example ticket that the local site applies.
package aubexample

import _ "embed"

// Ticket is the first ticket of the example site, as YAML.
//
//go:embed tickets/1.yaml
var Ticket []byte

// Key is the documented key of the local site.
const Key = "aub-local-example-key"
