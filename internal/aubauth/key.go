// Package aubauth checks callers' keys against the newest configuration and
// removes keys from requests that are forwarded to a backend server.
package aubauth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	// secretPrefix allows secret scanners to recognise a key in published code.
	secretPrefix = "aub-"
	secretBytes  = 32
	saltBytes    = 16
	lookupBytes  = 4
	// minSecretChars and maxSecretChars bound the length of secrets that are chosen
	// by a person.
	minSecretChars = 20
	maxSecretChars = 512
)

// NewKey returns a new random secret and its stored form, from which the secret
// can't be recovered.
func NewKey(name, workspace string) (secret string, stored aubapi.Key, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", aubapi.Key{}, &RandomError{Err: err}
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(raw)
	stored, err = StoreKey(secret, name, workspace)
	return secret, stored, err
}

// StoreKey returns the stored form of the secret, hashed with a new random salt.
func StoreKey(secret, name, workspace string) (aubapi.Key, error) {
	if len(secret) < minSecretChars || len(secret) > maxSecretChars {
		return aubapi.Key{}, &SecretError{Reason: fmt.Sprintf(
			"has %d characters; allowed are %d to %d", len(secret), minSecretChars, maxSecretChars)}
	}
	if !isVisibleASCII(secret) {
		return aubapi.Key{}, &SecretError{Reason: "has characters other than visible ASCII"}
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return aubapi.Key{}, &RandomError{Err: err}
	}
	return aubapi.Key{
		Name:      name,
		Workspace: workspace,
		Lookup:    lookupValue(secret),
		Salt:      hex.EncodeToString(salt),
		Hash:      hex.EncodeToString(hashSecret(salt, secret)),
	}, nil
}

// lookupValue returns the value by which the key of a secret is found: the first
// bytes of a digest. In practice it selects a single key, and it reveals nothing
// usable about a random secret.
func lookupValue(secret string) string {
	sum := sha256.Sum256([]byte("auburndale key lookup\x00" + secret))
	return hex.EncodeToString(sum[:lookupBytes])
}

func hashSecret(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
