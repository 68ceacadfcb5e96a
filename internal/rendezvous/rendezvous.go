// Package rendezvous ranks candidates for a key by rendezvous hashing, so that
// every instance with the same candidates chooses the same one and the loss of
// a candidate moves only that candidate's keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Best returns the candidate with the highest score for key. It returns false if
// there are no candidates.
func Best[T ~string](key string, candidates []T) (T, bool) {
	var best T
	var highest uint64
	found := false
	for _, c := range candidates {
		s := Score(key, string(c))
		if !found || s > highest || (s == highest && c < best) {
			best, highest, found = c, s, true
		}
	}
	return best, found
}

// Rank returns the candidates in descending order of their scores for key.
func Rank[T ~string](key string, candidates []T) []T {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b T) int {
		if c := cmp.Compare(Score(key, string(b)), Score(key, string(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Score returns the score of candidate for key, a hash of both.
func Score(key, candidate string) uint64 {
	return ScoreHashes(Hash(key), Hash(candidate))
}

// Hash returns the hash of a key or candidate for ScoreHashes.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// ScoreHashes returns what Score does, from the hashes of key and candidate.
func ScoreHashes(key, candidate uint64) uint64 {
	// Hashing the key and the candidate separately gives "ab"+"c" another score
	// than "a"+"bc".
	x := key ^ (candidate * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
