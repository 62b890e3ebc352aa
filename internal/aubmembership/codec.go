package aubmembership

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// MaxDatagramBytes is the maximum size of a datagram. With IP and UDP headers
	// it fits an Ethernet frame.
	MaxDatagramBytes = 1400
	// datagramOverheadBytes is the size of the IPv4 and UDP headers, which count
	// towards the send budget.
	datagramOverheadBytes = 28

	// datagramVersion is the first byte of every datagram.
	datagramVersion = 1
	// tagBytes is the length of the truncated authentication tag after the version.
	tagBytes        = 16
	headerBytes     = 1 + tagBytes
	maxPayloadBytes = MaxDatagramBytes - headerBytes
)

// EncodeDatagram encodes a datagram and adds an authentication tag. It does not encrypt.
// Errors are *DatagramError.
func EncodeDatagram(secret []byte, d *aubwire.Datagram) ([]byte, error) {
	payload, err := proto.Marshal(d)
	if err != nil {
		return nil, &DatagramError{Reason: RejectMalformed, Err: err}
	}
	if len(payload) > maxPayloadBytes {
		return nil, &DatagramError{Reason: RejectSize}
	}
	encoded := make([]byte, 0, headerBytes+len(payload))
	encoded = append(encoded, datagramVersion)
	encoded = append(encoded, tag(secret, payload)...)
	return append(encoded, payload...), nil
}

// DecodeDatagram verifies the size, version and authentication tag of a datagram and decodes
// it. Errors are *DatagramError.
func DecodeDatagram(secret, encoded []byte) (*aubwire.Datagram, error) {
	if len(encoded) < headerBytes || len(encoded) > MaxDatagramBytes {
		return nil, &DatagramError{Reason: RejectSize}
	}
	if encoded[0] != datagramVersion {
		return nil, &DatagramError{Reason: RejectVersion}
	}
	payload := encoded[headerBytes:]
	if !hmac.Equal(encoded[1:headerBytes], tag(secret, payload)) {
		return nil, &DatagramError{Reason: RejectTag}
	}
	d := &aubwire.Datagram{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return nil, &DatagramError{Reason: RejectMalformed, Err: err}
	}
	return d, nil
}

// tag returns the truncated HMAC-SHA256 of the version byte and the payload.
func tag(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{datagramVersion})
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}
