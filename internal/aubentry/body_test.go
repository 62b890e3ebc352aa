package aubentry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestElementsOfABodyAreCounted(t *testing.T) {
	for _, test := range []struct {
		text string
		want int
	}{
		{``, 0},
		{`{"a":1}`, 1},
		{`{"a":1,"b":2}`, 2},
		{`{"a":[1,2,3]}`, 4},
		{`{"a":[{"b":1,"c":2},{"d":3}]}`, 3},
		{`{"a":"x,y\",[{","b":2}`, 2},
		{`{"a":"\\","b":2}`, 2},
	} {
		qt.Check(t, countElements([]byte(test.text), modelBodyDepth), qt.Equals, test.want, qt.Commentf("%s", test.text))
	}
}
