package persimmoncart

import (
	"context"
	"time"
)

// A WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Models returns the size of each model's weights.
	Models(ctx context.Context) (map[ModelName]Weights, error)
}

// Weights describes the weights of one model.
type Weights struct {
	FetchTime time.Duration // shortest duration of one fetch at the store's rate limit
	Size      int64         // bytes
}
