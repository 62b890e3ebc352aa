package aubwire_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	// The messages register themselves.
	_ "github.com/auburndale/auburndale/internal/aubwire"
)

// latin1 is a text in Latin-1, which is not UTF-8.
const latin1 = "caf\xe9"

// TestMessagesCarryAnyText guards against a text of a caller, backend server or operator that makes
// a whole message, and with it a stream, unusable for all others.
func TestMessagesCarryAnyText(t *testing.T) {
	count := 0
	protoregistry.GlobalTypes.RangeMessages(func(messageType protoreflect.MessageType) bool {
		descriptor := messageType.Descriptor()
		if descriptor.ParentFile().Package() != "auburndale.v1" {
			return true
		}
		for i := range descriptor.Fields().Len() {
			field := descriptor.Fields().Get(i)
			if field.Kind() != protoreflect.StringKind {
				continue
			}
			count++
			sent, received := messageType.New(), messageType.New()
			value := protoreflect.ValueOfString(latin1)
			if field.IsList() {
				sent.Mutable(field).List().Append(value)
			} else {
				sent.Set(field, value)
			}
			data, err := proto.Marshal(sent.Interface())
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", field.FullName()))
			qt.Check(t, proto.Unmarshal(data, received.Interface()), qt.IsNil, qt.Commentf("%s", field.FullName()))
			qt.Check(t, proto.Equal(sent.Interface(), received.Interface()), qt.IsTrue, qt.Commentf("%s", field.FullName()))
		}
		return true
	})
	qt.Assert(t, count > 100, qt.IsTrue, qt.Commentf("%d fields", count))
}
