package load

import (
	"time"

	"github.com/pkg/errors"
)

// Config describes one load test.
type Config struct {
	Model string
	// Rate is the number of online requests per second, BatchRate that of
	// batch items.
	Rate, BatchRate float64
	// BatchItems is the number of items in one batch job.
	BatchItems int
	// Duration is the time in which requests are started. The run ends later,
	// once the last response has arrived.
	Duration time.Duration
	// Timeout limits one online request. BatchTimeout limits the wait for batch
	// jobs after Duration has passed.
	Timeout, BatchTimeout time.Duration
	// PromptWords and MaxTokens set the size of each request.
	PromptWords, MaxTokens int
	// Echo states that the engine repeats the words of the last user message, so
	// that every response can be checked against its own prompt.
	Echo bool
	// Seed determines the arrival times and the prompts.
	Seed uint64
}

// Validate returns an error if the configuration can't be run.
func (c Config) Validate() error {
	switch {
	case c.Model == "":
		return errors.New("load: a model is needed")
	case c.Rate < 0 || c.BatchRate < 0 || c.Rate+c.BatchRate == 0:
		return errors.New("load: a rate above zero is needed")
	case c.Duration <= 0 || c.Timeout <= 0 || c.BatchTimeout <= 0:
		return errors.New("load: durations must be above zero")
	case c.BatchItems < 1 || c.PromptWords < 1 || c.MaxTokens < 1:
		return errors.New("load: sizes must be above zero")
	}
	return nil
}
