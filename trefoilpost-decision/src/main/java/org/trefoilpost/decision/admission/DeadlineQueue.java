package org.trefoilpost.decision.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests in the order of their deadlines, where insertion, removal and ranks take logarithmic time.
 *
 * <p>A treap with the sizes of its subtrees. Its shape depends on the requests' numbers only, so that equal histories
 * give equal queues.
 */
final class DeadlineQueue {
    private Node root;

    int size() {
        return size(root);
    }

    /** Returns the request with the earliest deadline, or null. */
    AdmissionRequest first() {
        Node node = root;
        while (node != null && node.left != null) {
            node = node.left;
        }
        return node == null ? null : node.request;
    }

    /** Returns the request with the latest deadline, or null. */
    AdmissionRequest last() {
        Node node = root;
        while (node != null && node.right != null) {
            node = node.right;
        }
        return node == null ? null : node.request;
    }

    /** Returns the number of requests that come before a request. */
    int rank(AdmissionRequest request) {
        int rank = 0;
        Node node = root;
        while (node != null) {
            if (precedes(node.request, request)) {
                rank += size(node.left) + 1;
                node = node.right;
            } else {
                node = node.left;
            }
        }
        return rank;
    }

    void add(AdmissionRequest request) {
        root = insert(root, new Node(request));
    }

    void remove(AdmissionRequest request) {
        root = delete(root, request);
    }

    List<AdmissionRequest> toList() {
        List<AdmissionRequest> requests = new ArrayList<>(size());
        collect(root, requests);
        return requests;
    }

    /** Returns the most steps that an operation takes. */
    int depth() {
        return depth(root);
    }

    private static int depth(Node node) {
        return node == null ? 0 : 1 + Math.max(depth(node.left), depth(node.right));
    }

    private static void collect(Node node, List<AdmissionRequest> requests) {
        if (node != null) {
            collect(node.left, requests);
            requests.add(node.request);
            collect(node.right, requests);
        }
    }

    private static Node insert(Node node, Node added) {
        if (node == null) {
            return added;
        }
        if (added.priority > node.priority) {
            split(node, added);
            return added.withUpdatedSize();
        }
        if (precedes(added.request, node.request)) {
            node.left = insert(node.left, added);
        } else {
            node.right = insert(node.right, added);
        }
        return node.withUpdatedSize();
    }

    /** Splits a subtree at a new root, which gets the parts as its children. */
    private static void split(Node node, Node newRoot) {
        if (node == null) {
            newRoot.left = null;
            newRoot.right = null;
            return;
        }
        if (precedes(node.request, newRoot.request)) {
            split(node.right, newRoot);
            node.right = newRoot.left;
            newRoot.left = node.withUpdatedSize();
        } else {
            split(node.left, newRoot);
            node.left = newRoot.right;
            newRoot.right = node.withUpdatedSize();
        }
    }

    private static Node delete(Node node, AdmissionRequest request) {
        if (node == null) {
            return null;
        }
        if (node.request.id() == request.id()) {
            return merge(node.left, node.right);
        }
        if (precedes(request, node.request)) {
            node.left = delete(node.left, request);
        } else {
            node.right = delete(node.right, request);
        }
        return node.withUpdatedSize();
    }

    private static Node merge(Node left, Node right) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        if (left.priority > right.priority) {
            left.right = merge(left.right, right);
            return left.withUpdatedSize();
        }
        right.left = merge(left, right.left);
        return right.withUpdatedSize();
    }

    private static boolean precedes(AdmissionRequest left, AdmissionRequest right) {
        int order = Long.compare(left.deadlineMillis(), right.deadlineMillis());
        return order < 0 || (order == 0 && left.id() < right.id());
    }

    private static int size(Node node) {
        return node == null ? 0 : node.size;
    }

    /**
     * A request with the earlier requests to its left and the later ones to its right.
     */
    private static final class Node {
        private final AdmissionRequest request;
        private final long priority;
        private Node left;
        private Node right;
        private int size = 1;

        private Node(AdmissionRequest request) {
            this.request = request;
            this.priority = mix(request.id());
        }

        private Node withUpdatedSize() {
            size = size(left) + size(right) + 1;
            return this;
        }

        /** Returns the number with its bits mixed, as in the finaliser of SplitMix64. */
        private static long mix(long number) {
            long mixed = number + 0x9E3779B97F4A7C15L;
            mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
            mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
            return mixed ^ (mixed >>> 31);
        }
    }
}
