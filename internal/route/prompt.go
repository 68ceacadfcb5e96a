package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// TokenBytes is the number of prompt bytes that count as one token. English and
// French prose needs about four bytes a token in common vocabularies; engines
// report the exact number after the prefill.
const TokenBytes = 4

// blockBytes is the number of prompt bytes in one block of engine memory.
const blockBytes = persimmoncart.BlockTokens * TokenBytes

// EstimateTokens returns the estimated number of tokens of a prompt. It is the
// only estimate in the program.
func EstimateTokens(prompt string) int {
	return (len(prompt) + TokenBytes - 1) / TokenBytes
}

// Prefixes returns the xxhash of the prompt up to each full block of 1,024
// estimated tokens, shortest first. A last partial block has no hash, because
// engines share only full blocks.
func Prefixes(model persimmoncart.ModelName, prompt string) []uint64 {
	blocks := len(prompt) / blockBytes
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, 0, blocks)
	d := xxhash.New()
	_, _ = d.WriteString(string(model))
	_, _ = d.Write([]byte{0})
	for b := range blocks {
		_, _ = d.WriteString(prompt[b*blockBytes : (b+1)*blockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
