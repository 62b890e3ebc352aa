package aubpoison

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before hex encoding.
const fingerprintBytes = 16

// RequestDigest returns a digest that identifies the content of a request, to recognize
// repeats of it.
func RequestDigest(workspace, method, path string, body []byte) []byte {
	digest := sha256.New()
	for _, part := range []string{workspace, method, path} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(body)
	return digest.Sum(nil)
}

// Fingerprint returns a prefix of the digest in hex, by which crashes of backend servers
// are attributed to requests.
func Fingerprint(digest []byte) string { return hex.EncodeToString(digest[:fingerprintBytes]) }

// partPrefix begins the fingerprints of prompt parts.
const partPrefix = "part:"

// PartFingerprint returns the fingerprint of a prompt part that requests share.
func PartFingerprint(id string) string {
	if len(id) > 2*fingerprintBytes {
		digest := sha256.Sum256([]byte(id))
		id = Fingerprint(digest[:])
	}
	return partPrefix + id
}
