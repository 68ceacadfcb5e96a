package config

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// decodeShard decodes a shard from its stored form.
func decodeShard(data []byte) (*shard, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}
	sh := &shard{hash: sha256.Sum256(data), objects: make(map[string][]byte, len(m))}
	for k, v := range m {
		sh.objects[k] = v
	}
	return sh, nil
}

// decodeManifest decodes a manifest and returns the hash of each shard by name.
func decodeManifest(data []byte) (map[string]persimmoncart.ConfigHash, error) {
	var m map[string]string
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode manifest")
	}
	out := make(map[string]persimmoncart.ConfigHash, len(m))
	for name, text := range m {
		h, err := parseHash(text)
		if err != nil {
			return nil, errors.Wrapf(err, "shard %s", name)
		}
		out[name] = h
	}
	return out, nil
}

// parseHash parses a hash of 64 hexadecimal digits.
func parseHash(text string) (persimmoncart.ConfigHash, error) {
	var h KeyHash
	if err := h.UnmarshalText([]byte(text)); err != nil {
		return persimmoncart.ConfigHash{}, errors.Wrap(err, "parse hash")
	}
	return persimmoncart.ConfigHash(h), nil
}
