package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// BytesPerToken is the number of bytes of a prompt that engines count as one token.
const BytesPerToken = 4

// blockBytes is the number of bytes of a prompt in one memory block.
const blockBytes = BytesPerToken * persimmoncart.BlockTokens

// vocabularySize is the number of different tokens that a Fake generates.
const vocabularySize = 4096

// vocabulary holds the texts of all tokens of a Fake. Building them once avoids an
// allocation for each token.
var vocabulary = func() (w [vocabularySize]string) {
	const syllables = "babebibobudadedidodugagegigogukakekikokulalelilolumamemimomunaneninonupapepipoputatetitotuvavevivovuzazezizozufafefifofu"
	count := len(syllables) / 2
	for i := range w {
		s := ""
		for n := i; ; n /= count {
			s += syllables[2*(n%count) : 2*(n%count)+2]
			if n < count {
				break
			}
		}
		w[i] = " " + s + strconv.Itoa(i%10)
	}
	return w
}()

// FakeToken returns the token that a Fake generates for prompt at index. Use a
// FakeOutput for many tokens of one prompt.
func FakeToken(prompt string, index int) string {
	return NewFakeOutput(prompt).Token(index)
}

// PrefixHashes returns the hash of each prefix of the prompt that ends with a full
// block, shortest prefix first. These hashes identify blocks in the prefix caches
// of engines.
func PrefixHashes(prompt string) []uint64 {
	list := make([]uint64, 0, len(prompt)/blockBytes)
	d := xxhash.New()
	for len(prompt) >= blockBytes {
		// Writing to a hash never fails.
		_, _ = d.WriteString(prompt[:blockBytes])
		list = append(list, d.Sum64())
		prompt = prompt[blockBytes:]
	}
	return list
}

// CountTokens returns the number of tokens of prompt as engines count them.
func CountTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// A FakeOutput is the sequence of tokens that each Fake generates for one prompt.
type FakeOutput struct {
	seed uint64
}

// NewFakeOutput returns the output for prompt.
func NewFakeOutput(prompt string) FakeOutput {
	return FakeOutput{seed: xxhash.Sum64String(prompt)}
}

// Token returns the token at index.
func (a FakeOutput) Token(index int) string {
	// The finaliser of splitmix64 spreads consecutive indexes over the vocabulary.
	x := a.seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return vocabulary[(x^x>>31)%vocabularySize]
}
