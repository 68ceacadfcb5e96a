package membership

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

var _ Extension = (*ConfigExtension)(nil)

// A ConfigExtension carries the digest of the configuration, 16 bytes, with the
// probes that compare tables and with summaries between cells.
type ConfigExtension struct {
	Digests persimmoncart.ConfigDigests
}

// Fill implements Extension.
func (c *ConfigExtension) Fill(to persimmoncart.Instance, full bool, p *memberv1.Piggyback) {
	if full || to.ID == "" {
		d := c.Digests.Digest()
		p.ConfigHash, p.ConfigVersion = d.Hash, d.Version
	}
}

// Receive implements Extension.
func (c *ConfigExtension) Receive(from persimmoncart.Instance, p *memberv1.Piggyback, _ time.Time) {
	if p.GetConfigVersion() > 0 && from.Addr.IsValid() {
		c.Digests.Heard(from, persimmoncart.ConfigDigest{Hash: p.GetConfigHash(), Version: p.GetConfigVersion()})
	}
}
