package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// BytesPerToken is how many bytes of a prompt the engines count as one token.
const BytesPerToken = 4

// blockBytes is the length of the prompt in one block of engine memory.
const blockBytes = BytesPerToken * persimmoncart.BlockTokens

// vocabularySize is the number of different tokens that FakeToken returns.
const vocabularySize = 4096

// vocabulary are the texts of the fake's tokens. They are built once, so that a
// token costs no allocation.
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

// FakeToken returns the token that a fake engine generates at index of the
// answer to prompt. Use a FakeAnswer for many tokens of one prompt.
func FakeToken(prompt string, index int) string {
	return NewFakeOutput(prompt).Token(index)
}

// PrefixHashes returns the hashes of the prompt up to the end of each full block,
// shortest first. Engines name the blocks in their prefix cache by these hashes.
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

// CountTokens returns the number of tokens in prompt, as the engines count them.
func CountTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// A FakeOutput is the answer that fake engines give to one prompt.
type FakeOutput struct {
	seed uint64
}

// NewFakeOutput returns the answer to prompt.
func NewFakeOutput(prompt string) FakeOutput {
	return FakeOutput{seed: xxhash.Sum64String(prompt)}
}

// Token returns the token at index.
func (a FakeOutput) Token(index int) string {
	// The finaliser of splitmix64 spreads neighbouring indexes over all words.
	x := a.seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return vocabulary[(x^x>>31)%vocabularySize]
}
