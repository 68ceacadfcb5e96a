package quotanet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/quota"
	"github.com/persimmoncart/persimmoncart/internal/quotanet"
)

// Guards against messages that outgrow what is read, and the bytes that CAPACITY.md counts
// for them.
func TestDatagramSizes(t *testing.T) {
	key := quota.Key(limited.Name)
	for _, data := range [][]byte{
		quotanet.AskDatagram(key, 1<<52, 6600, 300_000), quotanet.ReplyDatagram(key, 1<<52, 300_000), quotanet.ReturnDatagram(key, 1<<52, 1_800_000_000_000, 6600),
	} {
		assert.Assert(t, len(data) <= 48, "%d bytes", len(data))
	}
	assert.Assert(t, quotanet.Largest <= quotanet.MaxDatagram)
	t.Log(len(quotanet.AskDatagram(key, 1<<52, 6600, 300_000)), len(quotanet.ReplyDatagram(key, 1<<52, 300_000)), quotanet.Largest)
}
