package batchapi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"mime"
	"mime/multipart"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/errkind"
)

const (
	maxFieldBytes         = 4 << 10
	maxFilePageSize       = 10_000
	minExpireAfterSeconds = 3600
	maxExpireAfterSeconds = 2592000
)

// fileObject is the API representation of a file.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newFileObject(f batch.File) fileObject {
	return fileObject{
		ID: f.ID, Object: "file", Bytes: f.Content.Size(), CreatedAt: f.Created, ExpiresAt: f.Expires,
		Filename: f.Name, Purpose: f.Purpose, Status: "processed",
	}
}

// upload holds the content of a multipart request.
type upload struct {
	name    string
	fields  map[string]string
	written blob.WriteResult
	hasFile bool
}

func (a *api) createFile(ctx context.Context, c request) error {
	key, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	up, err := a.readUpload(ctx, c)
	if err != nil {
		return err
	}
	f, err := a.newFile(c, up, key)
	if err != nil {
		return err
	}
	if existing, ok, err := c.shard.Table.FileByKey(c.workspace, key, f.KeyHash); ok || err != nil {
		return writeFileObject(c, existing, err)
	}
	if err := a.commit(ctx, c, batch.KindFile, f); err != nil {
		return err
	}
	if existing, ok, err := c.shard.Table.FileByKey(c.workspace, key, f.KeyHash); ok || err != nil {
		return writeFileObject(c, existing, err)
	}
	stored, err := c.shard.Table.File(c.workspace, f.ID, a.Now())
	return writeFileObject(c, stored, err)
}

func writeFileObject(c request, f batch.File, err error) error {
	if err != nil {
		return err
	}
	return c.writeJSON(newFileObject(f))
}

// newFile validates an upload and returns the record of its file.
func (a *api) newFile(c request, up upload, key string) (batch.File, error) {
	switch {
	case !up.hasFile:
		return batch.File{}, errkind.New(errkind.BadRequest, "the form has no file").WithParam("file")
	case up.fields["purpose"] == "":
		return batch.File{}, errkind.New(errkind.BadRequest, "purpose is missing").WithParam("purpose")
	case up.fields["purpose"] != batch.PurposeBatch:
		return batch.File{}, errkind.New(errkind.BadRequest, "purpose must be %q", batch.PurposeBatch).WithParam("purpose")
	case up.written.Size == 0:
		return batch.File{}, errkind.New(errkind.BadRequest, "the file is empty").WithParam("file")
	}
	now := a.Now()
	expires, err := expiry(up.fields, now)
	if err != nil {
		return batch.File{}, err
	}
	sum := sha256.Sum256([]byte(up.fields["purpose"] + "\x00" + up.name + "\x00" + up.written.SHA256))
	return batch.File{
		ID: batch.NewID("file-"), Workspace: c.workspace, Name: up.name, Purpose: batch.PurposeBatch,
		SHA256: up.written.SHA256, Content: up.written.Manifest, Created: now.Unix(), Expires: expires,
		Key: key, KeyHash: hex.EncodeToString(sum[:]),
	}, nil
}

func expiry(fields map[string]string, now time.Time) (int64, error) {
	s, ok := fields["expires_after[seconds]"]
	if !ok {
		return now.Add(batch.DefaultRetention).Unix(), nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < minExpireAfterSeconds || n > maxExpireAfterSeconds {
		return 0, errkind.New(errkind.BadRequest, "expires_after must be from %d to %d seconds", minExpireAfterSeconds, maxExpireAfterSeconds).
			WithParam("expires_after[seconds]")
	}
	return now.Unix() + n, nil
}

// readUpload reads a multipart body part by part. The file is written to the
// log while it is received.
func (a *api) readUpload(ctx context.Context, c request) (upload, error) {
	up := upload{fields: make(map[string]string)}
	typ, params, err := mime.ParseMediaType(string(c.ContentType()))
	if err != nil || typ != "multipart/form-data" || params["boundary"] == "" {
		return up, errkind.New(errkind.BadRequest, "the body must be multipart/form-data").WithParam("Content-Type")
	}
	mr := multipart.NewReader(c.body(), params["boundary"])
	for {
		part, err := mr.NextPart()
		if errors.Is(err, io.EOF) {
			return up, nil
		}
		if err != nil {
			return up, errkind.Wrap(err, errkind.BadRequest, "the multipart body is malformed").WithParam("body")
		}
		if err := a.readPart(ctx, c, part, &up); err != nil {
			return up, err
		}
	}
}

func (a *api) readPart(ctx context.Context, c request, part *multipart.Part, up *upload) error {
	if part.FormName() != "file" {
		b, err := io.ReadAll(io.LimitReader(part, maxFieldBytes+1))
		if err != nil {
			return errkind.Wrap(err, errkind.BadRequest, "the multipart body is malformed").WithParam(part.FormName())
		}
		if len(b) > maxFieldBytes {
			return errkind.New(errkind.TooLarge, "the form field is longer than %d bytes", maxFieldBytes).WithParam(part.FormName())
		}
		up.fields[part.FormName()] = string(b)
		return nil
	}
	if up.hasFile {
		return errkind.New(errkind.BadRequest, "the form has more than one file").WithParam("file")
	}
	w, err := c.store.Write(ctx, part, a.MaxFileBytes)
	var kind *errkind.Error
	if errors.As(err, &kind) {
		return kind.WithParam("file")
	}
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "the file did not arrive whole").WithParam("file")
	}
	up.hasFile, up.name, up.written = true, part.FileName(), w
	return nil
}

// body returns the request's body, as a stream if the server streams bodies.
func (c request) body() io.Reader {
	if c.Request.IsBodyStream() {
		return c.RequestBodyStream()
	}
	return bytes.NewReader(c.Request.Body())
}

func (a *api) file(ctx context.Context, c request) (batch.File, error) {
	return lookupFresh(ctx, a, c, func() (batch.File, error) {
		return c.shard.Table.File(c.workspace, c.Param("id"), a.Now())
	})
}

func (a *api) getFile(ctx context.Context, c request) error {
	f, err := a.file(ctx, c)
	return writeFileObject(c, f, err)
}

func (a *api) listFiles(_ context.Context, c request) error {
	q, err := c.listQuery(maxFilePageSize, maxFilePageSize)
	if err != nil {
		return err
	}
	files, more, err := c.shard.Table.Files(c.workspace, c.Query("purpose"), q.after, q.limit, a.Now())
	if err != nil {
		return err
	}
	data := make([]fileObject, len(files))
	for i, f := range files {
		data[i] = newFileObject(f)
	}
	return c.writeJSON(newList(data, more, func(f fileObject) string { return f.ID }))
}

func (a *api) deleteFile(ctx context.Context, c request) error {
	f, err := a.file(ctx, c)
	if err != nil {
		return err
	}
	if err := a.commit(ctx, c, batch.KindDeleteFile, batch.DeleteFile{ID: f.ID, Workspace: c.workspace, At: a.Now().Unix()}); err != nil {
		return err
	}
	return c.writeJSON(deletedObject{ID: f.ID, Object: "file", Deleted: true})
}

// fileContent streams a file. It reads the first chunk before it sends the
// status, so that unreadable content leads to an error response instead of a
// truncated body.
func (a *api) fileContent(ctx context.Context, c request) error {
	f, err := a.file(ctx, c)
	if err != nil {
		return err
	}
	r := bufio.NewReaderSize(c.store.Open(ctx, f.Content, 0), 64<<10)
	if _, err := r.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	c.Response.Header.SetContentType("application/octet-stream")
	name, err := json.Marshal(f.Name)
	if err != nil {
		return errors.Wrap(err, "batchapi: encode file name")
	}
	c.Response.Header.Set("Content-Disposition", "attachment; filename="+string(name))
	c.SetBodyStream(r, int(f.Content.Size()))
	return nil
}
