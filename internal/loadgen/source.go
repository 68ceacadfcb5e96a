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
	// Prompts are put together from passages of one text, which is much cheaper
	// than drawing each word.
	corpusBytes  = 64 << 10
	passageBytes = 256
	// templateBytes is the length of the forms that prompts start with: two blocks
	// of engine memory, so that prefix caches have something to find.
	templateBytes = 2 * 1024 * engine.BytesPerToken
	// templateCount is the number of different forms.
	templateCount = 8
	// templateShare is the share of prompts that start with a form.
	templateShare = 0.5
	// maxRetryDelay bounds the time to the second call with the same key.
	maxRetryDelay = 300 * time.Millisecond
)

// promptWords are what prompts consist of.
var promptWords = strings.Fields(`lot crate olive fig lentil wheat barley almond weigh
	grade humid dry shade press grove field truck gate clerk farmer member share quota
	letter wool blanket thread pattern size winter donor shelter county school`)

// A Request is one request of a run.
type Request struct {
	Start           time.Duration // intended start, from the start of the run
	Body            []byte
	Chat            bool   // a conversation
	IdempotencyKey  string // idempotency key; empty if the request has none
	MaxOutputTokens int    // output tokens of a draft
	Method          string
	Workload        *Workload
	Path            string
	Prompt          string
	RetryDelay      time.Duration // to a second call with the same key; zero if there is none
	NonStreaming    bool          // a draft without streaming
}

// A Source draws the requests of a run. Equal fields give equal requests.
type Source struct {
	Curve     Curve
	Duration  time.Duration
	Mix       Mix
	KeyPrefix string // makes the keys of this run differ from those of others
	Seed      uint64

	arrival   time.Duration
	corpus    string
	templates []string
	count     int
	random    *rand.Rand
}

// Next returns the next request. It reports false at the end of the run.
func (s *Source) Next() (Request, bool) {
	s.initialise()
	peak := s.Curve.Peak()
	if !(peak > 0) {
		return Request{}, false
	}
	for {
		// Thinning: arrivals at the highest rate are kept with the share that
		// the curve has of it at that time.
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

// initialise prepares the source at the first call.
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

// pickWorkload draws a pickWorkload of the mix.
func (s *Source) pickWorkload() *Workload {
	total := 0.0
	for _, p := range s.Mix.Workloads {
		total += p.Share
	}
	x := s.random.Float64() * total
	for i := range s.Mix.Workloads {
		if x -= s.Mix.Workloads[i].Share; x < 0 {
			return &s.Mix.Workloads[i]
		}
	}
	return &s.Mix.Workloads[len(s.Mix.Workloads)-1]
}

// newRequest draws the newRequest of a part.
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

// fillDraft draws a fillDraft. A conversation of one message reaches the engines as
// "user: <message>\nassistant: ".
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

// drawLength draws a number from a range.
func (s *Source) drawLength(r Range) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + s.random.Float64()*(high-low)))
}

// newPrompt returns a newPrompt of the given length in bytes.
func (s *Source) newPrompt(size int) string {
	head := s.randomText(12) + " " + strconv.Itoa(s.count) + ": "
	if size > templateBytes && s.random.Float64() < templateShare {
		head = s.templates[s.random.IntN(len(s.templates))] + head
	}
	return head + s.randomText(size-len(head))
}

// randomText returns random randomText of the given length in bytes.
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

// A message is one message of a conversation.
type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// A recordBody is the body of a booking, payment or pledge.
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
