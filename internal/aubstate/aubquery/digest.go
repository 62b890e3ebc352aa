package aubquery

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// digestLanes is the number of 64-bit words of a digest.
const digestLanes = sha256.Size / 8

// Digest identifies the content of a configuration. It is the lane-wise sum of
// the SHA-256 hashes of all objects, so updating it costs only the changed objects.
// It detects errors of transport and replay; it does not protect against forgery.
type Digest [digestLanes]uint64

// Bytes returns the digest as 32 big-endian bytes.
func (d Digest) Bytes() []byte {
	b := make([]byte, 0, sha256.Size)
	for _, lane := range d {
		b = binary.BigEndian.AppendUint64(b, lane)
	}
	return b
}

func (d Digest) plus(o Digest) Digest {
	for i := range d {
		d[i] += o[i]
	}
	return d
}

func (d Digest) minus(o Digest) Digest {
	for i := range d {
		d[i] -= o[i]
	}
	return d
}

func digestOf(objects ConfigObjects) Digest {
	var d Digest
	d = addObjects(d, aubapi.KindWorkspace, objects.Workspaces)
	d = addObjects(d, aubapi.KindKey, objects.Keys)
	d = addObjects(d, aubapi.KindModel, objects.Models)
	d = addObjects(d, aubapi.KindAdapter, objects.Adapters)
	return addObjects(d, aubapi.KindRoute, objects.Routes)
}

func addObjects[T any](d Digest, kind aubapi.Kind, objects []T) Digest {
	for _, o := range objects {
		d = d.plus(objectDigest(kind, o))
	}
	return d
}

// objectDigest hashes the kind and the JSON encoding of an object. The encoding is
// canonical: struct fields have a fixed order and no object contains a map.
func objectDigest[T any](kind aubapi.Kind, object T) Digest {
	data, err := json.Marshal(object)
	if err != nil {
		// Unreachable: objects contain only strings, booleans, integers and lists.
		panic(err)
	}
	sum := sha256.Sum256(append([]byte(kind+"\x00"), data...))
	var d Digest
	for i := range d {
		d[i] = binary.BigEndian.Uint64(sum[i*8:])
	}
	return d
}
