package aubmembership

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// MaxDatagramBytes bounds a datagram so that it fits an Ethernet frame with
	// its IP and UDP headers.
	MaxDatagramBytes = 1400
	// datagramOverheadBytes are the IPv4 and UDP headers, counted in the budget.
	datagramOverheadBytes = 28

	datagramVersion = 1
	tagBytes        = 16
	headerBytes     = 1 + tagBytes
	maxPayloadBytes = MaxDatagramBytes - headerBytes
)

// Seal encodes and authenticates a datagram.
func Seal(secret []byte, d *aubwire.Datagram) ([]byte, error) {
	payload, err := proto.Marshal(d)
	if err != nil {
		return nil, &DatagramError{Reason: RejectMalformed, Err: err}
	}
	if len(payload) > maxPayloadBytes {
		return nil, &DatagramError{Reason: RejectSize}
	}
	sealed := make([]byte, 0, headerBytes+len(payload))
	sealed = append(sealed, datagramVersion)
	sealed = append(sealed, tag(secret, payload)...)
	return append(sealed, payload...), nil
}

// Open checks and decodes a datagram. Errors are *DatagramError.
func Open(secret, sealed []byte) (*aubwire.Datagram, error) {
	if len(sealed) < headerBytes || len(sealed) > MaxDatagramBytes {
		return nil, &DatagramError{Reason: RejectSize}
	}
	if sealed[0] != datagramVersion {
		return nil, &DatagramError{Reason: RejectVersion}
	}
	payload := sealed[headerBytes:]
	if !hmac.Equal(sealed[1:headerBytes], tag(secret, payload)) {
		return nil, &DatagramError{Reason: RejectTag}
	}
	d := &aubwire.Datagram{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return nil, &DatagramError{Reason: RejectMalformed, Err: err}
	}
	return d, nil
}

func tag(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{datagramVersion})
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}
