package route

import (
	"github.com/persimmoncart/persimmoncart/internal/engine"
)

// EstimateTokens returns the estimated number of tokens of a prompt. Engines
// report the exact number after the prefill.
func EstimateTokens(prompt string) int { return engine.Tokens(prompt) }

// Prefixes returns the hashes of the prompt up to each full block of 1,024
// estimated tokens, shortest first, as the engines name them in cache events.
func Prefixes(prompt string) []uint64 { return engine.Prefixes(prompt) }
