package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"daisystage.example/daisystage/internal/node/events"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

const (
	// PrefixReceipts is the key prefix of the receipts in the platform.
	PrefixReceipts = "receipts/"
	// receiptsQueueSize limits the receipts that wait to be written.
	receiptsQueueSize = 4096
	// receiptsInterval is the mean time between two flushes.
	receiptsInterval = time.Second
	// maxBatchReceipts and maxBatchBytes limit the receipts and the bytes of one
	// object.
	maxBatchReceipts = 500
	maxBatchBytes    = 512 << 10
)

// ReceiptWriter writes receipts to the platform in batches, each an object
// receipts/<hour>/<entry VM>/<batch id>. Make one with NewReceiptWriter.
type ReceiptWriter struct {
	store Store
	name  string
	log   *zap.Logger
	queue chan *contract.Receipt
	// Dropped counts the receipts that were lost because the queue was full.
	Dropped atomic.Int64
	// Written counts the receipts written to the platform.
	Written atomic.Int64
}

// NewReceiptWriter returns a writer of the receipts of an entry VM.
func NewReceiptWriter(store Store, entryVM string, log *zap.Logger) *ReceiptWriter {
	return &ReceiptWriter{store: store, name: entryVM, log: log, queue: make(chan *contract.Receipt, receiptsQueueSize)}
}

// Enqueue queues a receipt, or drops it if the queue is full. It does not
// block.
func (rw *ReceiptWriter) Enqueue(rc *contract.Receipt) {
	select {
	case rw.queue <- rc:
	default:
		if rw.Dropped.Add(1) == 1 {
			events.ReceiptsDropped.Log(rw.log, zap.String("request_id", rc.RequestID))
		}
	}
}

// QueueLength returns the number of queued receipts.
func (rw *ReceiptWriter) QueueLength() int {
	return len(rw.queue)
}

// Run writes queued receipts until the context is done. Call Flush to write the
// rest.
func (rw *ReceiptWriter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(receiptsInterval))
		rw.Flush(ctx)
	}
}

// Flush writes all queued receipts. On an error it queues the failed batch again
// and returns.
func (rw *ReceiptWriter) Flush(ctx context.Context) {
	for len(rw.queue) > 0 {
		batch := rw.takeBatch()
		if err := rw.write(ctx, time.Now(), batch); err != nil {
			events.ReceiptsWriteFailed.Log(rw.log, zap.Int("count", len(batch)), zap.Error(err))
			for _, rc := range batch {
				rw.Enqueue(rc)
			}
			return
		}
		rw.Written.Add(int64(len(batch)))
	}
}

func (rw *ReceiptWriter) takeBatch() []*contract.Receipt {
	var batch []*contract.Receipt
	for len(batch) < maxBatchReceipts {
		select {
		case rc := <-rw.queue:
			batch = append(batch, rc)
		default:
			return batch
		}
	}
	return batch
}

func (rw *ReceiptWriter) write(ctx context.Context, now time.Time, batch []*contract.Receipt) error {
	text, err := json.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encode receipts: %w", err)
	}
	if len(text) > maxBatchBytes && len(batch) > 1 {
		half := len(batch) / 2
		if err := rw.write(ctx, now, batch[:half]); err != nil {
			return err
		}
		return rw.write(ctx, now, batch[half:])
	}
	key := fmt.Sprintf("%s%s/%s/%s", PrefixReceipts, now.UTC().Format("2006010215"), rw.name, uuid.Must(uuid.NewV7()))
	if _, err := rw.store.Put(ctx, key, string(text), 0); err != nil {
		return fmt.Errorf("write receipts: %w", err)
	}
	return nil
}

// FindReceipts returns the receipts of a request that were written in the hour of
// its id's timestamp or in the next hour. For an id of a version other than 7,
// which has no usable timestamp, it searches the current and the next hour.
func FindReceipts(ctx context.Context, now time.Time, store Store, id uuid.UUID) ([]contract.Receipt, error) {
	var found []contract.Receipt
	for _, hour := range receiptHours(now, id) {
		objects, _, err := store.List(ctx, PrefixReceipts+hour+"/")
		if err != nil {
			return nil, fmt.Errorf("find receipts: %w", err)
		}
		found = append(found, matchingReceipts(objects, id.String())...)
	}
	return found, nil
}

func receiptHours(now time.Time, id uuid.UUID) []string {
	createdAt := now
	if id.Version() == 7 {
		createdAt = time.Unix(id.Time().UnixTime())
	}
	return []string{
		createdAt.UTC().Format("2006010215"),
		createdAt.Add(time.Hour).UTC().Format("2006010215"),
	}
}

func matchingReceipts(objects []view.Object, id string) []contract.Receipt {
	var found []contract.Receipt
	for _, ob := range objects {
		var batch []contract.Receipt
		if json.Unmarshal([]byte(ob.Value), &batch) != nil {
			continue
		}
		for _, rc := range batch {
			if rc.RequestID == id {
				found = append(found, rc)
			}
		}
	}
	return found
}
