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
	// sharedBytes is the length of the forms that prompts start with: two blocks
	// of engine memory, so that prefix caches have something to find.
	sharedBytes = 2 * 1024 * engine.BytesPerToken
	// sharedForms is the number of different forms.
	sharedForms = 8
	// sharedShare is the share of prompts that start with a form.
	sharedShare = 0.5
	// repeatDelay bounds the time to the second call with the same key.
	repeatDelay = 300 * time.Millisecond
)

// promptWords are what prompts consist of.
var promptWords = strings.Fields(`lot crate olive fig lentil wheat barley almond weigh
	grade humid dry shade press grove field truck gate clerk farmer member share quota
	letter wool blanket thread pattern size winter donor shelter county school`)

// A Request is one request of a run.
type Request struct {
	At     time.Duration // intended start, from the start of the run
	Body   []byte
	Chat   bool   // a conversation
	Key    string // idempotency key; empty if the request has none
	Limit  int    // output tokens of a draft
	Method string
	Part   *Part
	Path   string
	Prompt string
	Repeat time.Duration // to a second call with the same key; zero if there is none
	Whole  bool          // a draft without streaming
}

// A Source draws the requests of a run. Equal fields give equal requests.
type Source struct {
	Curve    Curve
	Duration time.Duration
	Mix      Mix
	Run      string // makes the keys of this run differ from those of others
	Seed     uint64

	at     time.Duration
	corpus string
	forms  []string
	number int
	random *rand.Rand
}

// Next returns the next request. It reports false at the end of the run.
func (s *Source) Next() (Request, bool) {
	s.start()
	peak := s.Curve.Peak()
	if !(peak > 0) {
		return Request{}, false
	}
	for {
		// Thinning: arrivals at the highest rate are kept with the share that
		// the curve has of it at that time.
		s.at += time.Duration(s.random.ExpFloat64() / peak * float64(time.Second))
		if s.at >= s.Duration || s.at < 0 {
			return Request{}, false
		}
		if s.random.Float64()*peak < s.Curve.Rate(s.at) {
			break
		}
	}
	s.number++
	return s.request(s.part()), true
}

// start prepares the source at the first call.
func (s *Source) start() {
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
	for range sharedForms {
		s.forms = append(s.forms, s.text(sharedBytes))
	}
}

// part draws a part of the mix.
func (s *Source) part() *Part {
	total := 0.0
	for _, p := range s.Mix.Parts {
		total += p.Share
	}
	x := s.random.Float64() * total
	for i := range s.Mix.Parts {
		if x -= s.Mix.Parts[i].Share; x < 0 {
			return &s.Mix.Parts[i]
		}
	}
	return &s.Mix.Parts[len(s.Mix.Parts)-1]
}

// request draws the request of a part.
func (s *Source) request(p *Part) Request {
	r := Request{At: s.at, Method: http.MethodPost, Part: p}
	id := strconv.Itoa(s.number)
	switch p.Kind {
	case KindDraft:
		s.draft(p, &r)
	case KindLookup:
		r.Method = http.MethodGet
		r.Path = "/" + string(p.Route) + "/" + promptWords[s.random.IntN(len(promptWords))] + "?lot=" + id
	case KindRecord:
		r.Path = "/" + string(p.Route) + "/new"
		r.Key = s.Run + "-" + p.Name + "-" + id
		r.Body = encode(recordBody{Amount: s.random.IntN(10_000), Lot: id})
		if s.random.Float64() < p.Repeats {
			r.Repeat = 1 + time.Duration(s.random.Int64N(int64(repeatDelay)))
		}
	}
	return r
}

// draft draws a draft. A conversation of one message reaches the engines as
// "user: <message>\nassistant: ".
func (s *Source) draft(p *Part, r *Request) {
	r.Path = "/v1/completions"
	r.Limit = s.draw(p.Output)
	r.Prompt = s.prompt(s.draw(p.Prompt) * engine.BytesPerToken)
	r.Chat = s.random.Float64() < p.Chat
	r.Whole = s.random.Float64() < p.Whole
	body := completionBody{Limit: r.Limit, Model: string(s.Mix.Model), Prompt: r.Prompt, Stream: !r.Whole}
	if r.Chat {
		r.Path = "/v1/chat/completions"
		body.Messages, body.Prompt = []message{{Content: r.Prompt, Role: "user"}}, ""
		r.Prompt = "user: " + r.Prompt + "\nassistant: "
	}
	r.Body = encode(body)
}

// draw draws a number from a range.
func (s *Source) draw(r Range) int {
	low, high := math.Log(float64(r.Low)), math.Log(float64(r.High))
	return int(math.Exp(low + s.random.Float64()*(high-low)))
}

// prompt returns a prompt of the given length in bytes.
func (s *Source) prompt(size int) string {
	head := s.text(12) + " " + strconv.Itoa(s.number) + ": "
	if size > sharedBytes && s.random.Float64() < sharedShare {
		head = s.forms[s.random.IntN(len(s.forms))] + head
	}
	return head + s.text(size-len(head))
}

// text returns random text of the given length in bytes.
func (s *Source) text(size int) string {
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
	Limit    int       `json:"max_tokens"`
	Messages []message `json:"messages,omitempty"`
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt,omitempty"`
	Stream   bool      `json:"stream"`
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
