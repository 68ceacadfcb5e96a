package transport

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// A LoadReport is the JSON form of a persimmoncart.LoadReport.
type LoadReport struct {
	At      time.Time                 `json:"at"`
	Blocks  int                       `json:"blocks"`
	Free    int                       `json:"free"`
	Leaving bool                      `json:"leaving,omitempty"`
	Models  []persimmoncart.ModelName `json:"models,omitempty"`
	Role    persimmoncart.Role        `json:"role,omitzero"`
	Running int                       `json:"running"`
	Slots   int                       `json:"slots"`
	Waiting int                       `json:"waiting"`
}

// NewLoadReport returns the JSON form of a load report.
func NewLoadReport(r persimmoncart.LoadReport) LoadReport {
	return LoadReport{
		At:      r.Time,
		Blocks:  r.Blocks,
		Free:    r.FreeBlocks,
		Leaving: r.Leaving,
		Models:  r.Models,
		Role:    r.Role,
		Running: r.Running,
		Slots:   r.Slots,
		Waiting: r.Waiting,
	}
}

// Report returns the report as a persimmoncart.LoadReport.
func (l LoadReport) Report() persimmoncart.LoadReport {
	return persimmoncart.LoadReport{
		Time:       l.At,
		Blocks:     l.Blocks,
		FreeBlocks: l.Free,
		Leaving:    l.Leaving,
		Models:     l.Models,
		Role:       l.Role,
		Running:    l.Running,
		Slots:      l.Slots,
		Waiting:    l.Waiting,
	}
}
