package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A store that carries out calls at once, and can hold back the answers to changes and reads.
 */
class HeldAnswersStore extends MemoryStore {
    private final List<Runnable> heldAnswers = new ArrayList<>();
    private boolean holdingChanges;
    private boolean holdingReads;

    /**
     * Sets whether the answers to further changes are held back.
     */
    void holdAnswers(boolean hold) {
        holdingChanges = hold;
    }

    /**
     * Sets whether the answers to further reads are held back.
     */
    void holdReads(boolean hold) {
        holdingReads = hold;
    }

    int heldAnswers() {
        return heldAnswers.size();
    }

    /**
     * Gives one of the answers that are held back.
     *
     * @param index  the place of its call among those whose answers are held back
     */
    void releaseAnswer(int index) {
        heldAnswers.remove(index).run();
    }

    /**
     * Gives all answers that are held back, in the order of the calls.
     */
    void releaseAnswers() {
        List<Runnable> released = List.copyOf(heldAnswers);
        heldAnswers.clear();
        released.forEach(Runnable::run);
    }

    @Override
    public CompletableFuture<Long> commit(Change change) {
        return answer(super.commit(change), holdingChanges);
    }

    @Override
    public CompletableFuture<Optional<Item>> read(String key) {
        return answer(super.read(key), holdingReads);
    }

    private <T> CompletableFuture<T> answer(CompletableFuture<T> answer, boolean holding) {
        if (!holding) {
            return answer;
        }
        CompletableFuture<T> held = new CompletableFuture<>();
        heldAnswers.add(() -> answer.whenComplete((value, failure) -> {
            if (failure == null) {
                held.complete(value);
            } else {
                held.completeExceptionally(failure);
            }
        }));
        return held;
    }
}
