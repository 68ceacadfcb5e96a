package route

import (
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// EstimateTokens returns the estimated number of tokens in a prompt. Engines report
// the exact number after the prefill.
func EstimateTokens(prompt string) int { return engine.CountTokens(prompt) }

// Prefixes returns the hashes of the prefixes of a prompt that end with each full
// block of 1,024 estimated tokens, shortest first. Engines use the same hashes in
// cache events.
func Prefixes(prompt string) []uint64 { return engine.PrefixHashes(prompt) }
