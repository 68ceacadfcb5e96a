package loadgen

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/engine"
)

const (
	// Prompts are composed of passages from one text, which is much cheaper
	// than drawing each word.
	corpusBytes  = 64 << 10
	passageBytes = 256
	// templateBytes is the length of the templates that prompts start with: two
	// blocks of engine memory, so that prefix caches have hits.
	templateBytes = 2 * 1024 * engine.BytesPerToken
	// templateCount is the number of different templates.
	templateCount = 8
	// templateShare is the share of long prompts that start with a template.
	templateShare = 0.5
	// maxRetryDelay is the longest time to the second call with the same key.
	maxRetryDelay = 300 * time.Millisecond
)

// promptWords are the words of prompts.
var promptWords = strings.Fields(`lot crate olive fig lentil wheat barley almond weigh
	grade humid dry shade press grove field truck gate clerk farmer member share quota
	letter wool blanket thread pattern size winter donor shelter county school`)

// A Request is one request of a run.
type Request struct {
	Body            []byte
	Chat            bool   // a draft sent as a chat completion
	IdempotencyKey  string // empty for requests without a key
	MaxOutputTokens int    // of a draft
	Method          string
	NonStreaming    bool // draft without streaming
	Path            string
	Prompt          string
	RetryDelay      time.Duration // time to a second call with the same key; zero if there is none
	Start           time.Duration // intended start, from the start of the run
	Workload        *Workload
}

// A Source generates the requests of a run. Sources with equal exported fields
// generate equal requests.
type Source struct {
	Curve     Curve
	Duration  time.Duration
	KeyPrefix string // prefix of idempotency keys, which keeps the keys of runs apart
	Mix       Mix
	Seed      uint64

	arrival   time.Duration
	corpus    string
	count     int
	random    *rand.Rand
	templates []string
}

// Next returns the next request. It returns false at the end of the run.
func (s *Source) Next() (Request, bool) {
	s.initialise()
	peak := s.Curve.Peak()
	if !(peak > 0) {
		return Request{}, false
	}
	for {
		// Thinning: arrivals are drawn at the highest rate, and each is kept
		// with the probability of the current rate divided by the highest.
		s.arrival += time.Duration(s.random.ExpFloat64() / peak * float64(time.Second))
		if s.arrival >= s.Duration || s.arrival < 0 {
			return Request{}, false
		}
		if s.random.Float64()*peak < s.Curve.Rate(s.arrival) {
			break
		}
	}
	s.count++
	return s.newRequest(s.pickWorkload()), true
}

// initialise seeds the generator and draws the corpus and the templates, on
// the first call.
func (s *Source) initialise() {
	if s.random != nil {
		return
	}
	s.random = rand.New(rand.NewPCG(s.Seed, 0))
	var b strings.Builder
	for b.Len() < corpusBytes {
		b.WriteString(promptWords[s.random.IntN(len(promptWords))])
		b.WriteByte(' ')
	}
	s.corpus = b.String()
	for range templateCount {
		s.templates = append(s.templates, s.randomText(templateBytes))
	}
}

// pickWorkload draws a workload of the mix by its share.
func (s *Source) pickWorkload() *Workload {
	total := 0.0
	for _, p := range s.Mix.Workloads {
		total += p.Share
	}
	position := s.random.Float64() * total
	for i := range s.Mix.Workloads {
		if position -= s.Mix.Workloads[i].Share; position < 0 {
			return &s.Mix.Workloads[i]
		}
	}
	return &s.Mix.Workloads[len(s.Mix.Workloads)-1]
}

// newRequest draws a request of a workload.
func (s *Source) newRequest(p *Workload) Request {
	r := Request{Start: s.arrival, Method: http.MethodPost, Workload: p}
	id := strconv.Itoa(s.count)
	switch p.Kind {
	case KindDraft:
		s.fillDraft(p, &r)
	case KindLookup:
		r.Method = http.MethodGet
		r.Path = "/" + string(p.Route) + "/" + promptWords[s.random.IntN(len(promptWords))] + "?lot=" + id
	case KindRecord:
		r.Path = "/" + string(p.Route) + "/new"
		r.IdempotencyKey = s.KeyPrefix + "-" + p.Name + "-" + id
		r.Body = encode(recordBody{Amount: s.random.IntN(10_000), Lot: id})
		if s.random.Float64() < p.RetryShare {
			r.RetryDelay = 1 + time.Duration(s.random.Int64N(int64(maxRetryDelay)))
		}
	}
	return r
}

// fillDraft draws the rest of a draft. A chat completion of one message
// reaches the engines as "user: <message>\nassistant: ".
func (s *Source) fillDraft(p *Workload, r *Request) {
	r.Path = "/v1/completions"
	r.MaxOutputTokens = s.drawLength(p.OutputTokens)
	r.Prompt = s.newPrompt(s.drawLength(p.PromptTokens) * engine.BytesPerToken)
	r.Chat = s.random.Float64() < p.ChatShare
	r.NonStreaming = s.random.Float64() < p.NonStreamingShare
	body := completionBody{MaxTokens: r.MaxOutputTokens, Model: string(s.Mix.Model), Prompt: r.Prompt, Stream: !r.NonStreaming}
	if r.Chat {
		r.Path = "/v1/chat/completions"
		body.Messages, body.Prompt = []message{{Content: r.Prompt, Role: "user"}}, ""
		r.Prompt = "user: " + r.Prompt + "\nassistant: "
	}
	r.Body = encode(body)
}

// drawLength draws a number of tokens from a range.
func (s *Source) drawLength(r Range) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + s.random.Float64()*(high-low)))
}

// newPrompt returns a prompt of the given length in bytes.
func (s *Source) newPrompt(size int) string {
	prefix := s.randomText(12) + " " + strconv.Itoa(s.count) + ": "
	if size > templateBytes && s.random.Float64() < templateShare {
		prefix = s.templates[s.random.IntN(len(s.templates))] + prefix
	}
	return prefix + s.randomText(size-len(prefix))
}

// randomText returns random text of the given length in bytes.
func (s *Source) randomText(size int) string {
	var b strings.Builder
	for b.Len() < size {
		n := min(size-b.Len(), passageBytes)
		at := s.random.IntN(len(s.corpus) - n)
		b.WriteString(s.corpus[at : at+n])
	}
	return b.String()
}

// A completionBody is the body of a completion request.
type completionBody struct {
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages,omitempty"`
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Stream    bool      `json:"stream"`
}

// A message is one message of a chat completion.
type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// A recordBody is the body of a call that may run only once.
type recordBody struct {
	Amount int    `json:"amount"`
	Lot    string `json:"lot"`
}

// encode returns v as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only strings and numbers are encoded
	}
	return b
}
