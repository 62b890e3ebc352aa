package aubclaim_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubclaim"
)

func TestReplyErrorNamesItsCauseIfItHasOne(t *testing.T) {
	const prefix = "invalid exchange with the table of claims: "
	withCause := &aubclaim.ReplyError{Detail: "reply not decoded", Err: errors.New("cut short")}
	qt.Assert(t, withCause.Error(), qt.Equals, prefix+"reply not decoded: cut short")
	withoutCause := &aubclaim.ReplyError{Detail: "CLAIM_RESULT_INVALID"}
	qt.Assert(t, withoutCause.Error(), qt.Equals, prefix+"CLAIM_RESULT_INVALID")
}
