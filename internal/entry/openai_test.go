package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
)

const (
	openaiItems = 40
	openaiWait  = time.Minute
)

func openaiClient() openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+shared.Entries[0].CallerAddr()+"/v1/"),
		option.WithAPIKey(keyOne),
	)
}

func params(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func TestOpenAIClientChat(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), openaiWait)
	defer cancel()
	client := openaiClient()
	completion, err := client.Chat.Completions.New(ctx, params("a pitch raise", 5))
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, "a pitch raise a pitch ")
	assert.Equal(t, completion.Usage.CompletionTokens, int64(5))

	stream := client.Chat.Completions.NewStreaming(ctx, params("a pitch raise", 5))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, acc.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, acc.Choices[0].Message.Content, "a pitch raise a pitch ")
	assert.Equal(t, acc.Choices[0].FinishReason, "length")

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, model)
}

// TestOpenAIClientBatch runs a batch from upload to output with the official client.
func TestOpenAIClientBatch(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), openaiWait)
	defer cancel()
	client := openaiClient()
	var input bytes.Buffer
	for i := range openaiItems {
		_, _ = fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"lot %d"}]}}`+"\n", i, model, i)
	}
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(&input, "lots.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	job, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		job, err = client.Batches.Get(ctx, job.ID)
		if err != nil {
			return poll.Error(err)
		}
		if job.Status == openai.BatchStatusCompleted {
			return poll.Success()
		}
		return poll.Continue("%s", job.Status)
	}, poll.WithTimeout(openaiWait))
	assert.Equal(t, job.RequestCounts.Completed, int64(openaiItems))
	_, err = client.Batches.Cancel(ctx, job.ID)
	var apiErr *openai.Error
	assert.Assert(t, errors.As(err, &apiErr), "a completed job was cancelled: %v", err)
	assert.Equal(t, apiErr.StatusCode, errkind.Lookup(errkind.Conflict).Status)
	assert.Equal(t, apiErr.Code, string(errkind.Conflict))
	resp, err := client.Files.Content(ctx, job.OutputFileID)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := 0
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); lines++ {
		want := fmt.Sprintf("lot %d lot %d ", lines, lines)
		assert.Assert(t, strings.Contains(scan.Text(), want), "line %d: %s", lines, scan.Text())
	}
	assert.Equal(t, lines, openaiItems)
}
