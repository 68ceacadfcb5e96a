package application

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A Receipt is the response of a fake to a booking, payment or pledge.
type Receipt struct {
	Key string `json:"key"`
	Sum string `json:"sum"` // hash of the request's body
}

// A Value is the response of a fake to a lookup.
type Value struct {
	Path  string `json:"path"` // with the query, below the route
	Value string `json:"value"`
}

// FakeLookup returns the body of a fake's response to a lookup of path.
func FakeLookup(path string) []byte {
	return encode(Value{Path: path, Value: hash([]byte("value of " + path))})
}

// FakeReceipt returns the body of a fake's response to a recorded call.
func FakeReceipt(key string, body []byte) []byte {
	return encode(Receipt{Key: key, Sum: hash(body)})
}

// encode returns v as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only strings are encoded
	}
	return b
}

// hash returns the XXH64 hash of b in hexadecimal.
func hash(b []byte) string {
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}
