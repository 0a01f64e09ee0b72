package org.trefoilpost.entry.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;

/**
 * Encodes and decodes messages between entries in MessagePack: the number of the message's kind, then its values.
 */
public final class PeerCodec {
    /** The maximum size of a frame without its length prefix. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int CHALLENGE = 1;
    private static final int HELLO = 2;
    private static final int HEARTBEAT = 3;
    private static final int CONFIGURATION_PUSH = 4;
    private static final int CONFIGURATION_WANTED = 5;
    private static final int CORDON = 6;
    private static final int LEAVING = 7;
    private static final int DRAIN_QUERY = 8;
    private static final int DRAIN_ANSWER = 9;
    private static final int FORWARD_REQUEST = 10;
    private static final int FORWARD_OUTCOME = 11;
    private static final int HAND_OVER = 12;
    private static final int UNCORDON_CALL = 13;
    private static final int UNCORDON_ANSWER = 14;
    private static final int POOL_CALL = 15;
    private static final int POOL_ANSWER = 16;

    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message  the message, not null
     * @return the frame without its length prefix, not null
     */
    public static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(kindOf(message));
            pack(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to write to an in-memory buffer", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param frame  the frame without its length prefix, not null
     * @return the message, not null
     * @throws MalformedFrameException if the frame is not exactly one message
     */
    public static PeerMessage decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            PeerMessage message = unpack(unpacker.unpackInt(), unpacker);
            if (unpacker.hasNext()) {
                throw new MalformedFrameException("frame has bytes after the end of its message", null);
            }
            return message;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new MalformedFrameException("cannot decode frame: " + e.getMessage(), e);
        }
    }

    private static int kindOf(PeerMessage message) {
        if (message instanceof Challenge) {
            return CHALLENGE;
        } else if (message instanceof Hello) {
            return HELLO;
        } else if (message instanceof HeartbeatFrame) {
            return HEARTBEAT;
        } else if (message instanceof ConfigurationPush) {
            return CONFIGURATION_PUSH;
        } else if (message instanceof ConfigurationWanted) {
            return CONFIGURATION_WANTED;
        } else if (message instanceof CordonNotice) {
            return CORDON;
        } else if (message instanceof LeavingNotice) {
            return LEAVING;
        } else if (message instanceof DrainQuery) {
            return DRAIN_QUERY;
        } else if (message instanceof DrainAnswer) {
            return DRAIN_ANSWER;
        } else if (message instanceof ForwardRequest) {
            return FORWARD_REQUEST;
        } else if (message instanceof HandOverNotice) {
            return HAND_OVER;
        } else if (message instanceof UncordonCall) {
            return UNCORDON_CALL;
        } else if (message instanceof UncordonAnswer) {
            return UNCORDON_ANSWER;
        } else if (message instanceof PoolCall) {
            return POOL_CALL;
        } else if (message instanceof PoolAnswer) {
            return POOL_ANSWER;
        }
        return FORWARD_OUTCOME;
    }

    private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof Challenge challenge) {
            ValueCodec.packBytes(packer, challenge.nonce());
        } else if (message instanceof Hello hello) {
            packer.packString(hello.entry().text());
            ValueCodec.packBytes(packer, hello.proof());
        } else if (message instanceof HeartbeatFrame heartbeat) {
            ValueCodec.packBytes(packer, heartbeat.heartbeat());
            packer.packString(heartbeat.configurationChange());
        } else if (message instanceof ConfigurationPush push) {
            ConfigurationUpdateCodec.pack(packer, push.update());
        } else if (message instanceof ConfigurationWanted wanted) {
            packer.packLong(wanted.version());
        } else if (message instanceof LeavingNotice leaving) {
            packer.packString(leaving.worker().text()).packLong(leaving.incarnation());
        } else if (message instanceof HandOverNotice notice) {
            HandOverCodec.pack(packer, notice.handOver());
        } else if (message instanceof CordonNotice notice) {
            packCordon(packer, notice.cordon());
        } else {
            packCallOrReply(packer, message);
        }
    }

    private static void packCordon(MessageBufferPacker packer, CordonChange cordon) throws IOException {
        packer.packString(cordon.plan().text()).packInt(cordon.step()).packInt(cordon.attempt());
        packer.packString(cordon.worker().text()).packBoolean(cordon.isCordoned());
    }

    private static void packCallOrReply(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof DrainQuery query) {
            packer.packLong(query.callId());
            packCordon(packer, query.cordon());
        } else if (message instanceof DrainAnswer answer) {
            packer.packLong(answer.callId())
                    .packInt(answer.acknowledgedAttempt())
                    .packInt(answer.inFlight());
        } else if (message instanceof UncordonCall call) {
            packer.packLong(call.callId());
            packCordon(packer, call.cordon());
            packer.packLong(call.stoppedIncarnation());
        } else if (message instanceof UncordonAnswer answer) {
            packer.packLong(answer.callId()).packBoolean(answer.isInService());
        } else if (message instanceof PoolCall call) {
            packer.packLong(call.callId()).packString(call.pool());
            ValueCodec.packBytes(packer, call.request());
        } else if (message instanceof PoolAnswer answer) {
            packer.packLong(answer.callId()).packBoolean(answer.isOwner());
            ValueCodec.packBytes(packer, answer.reply());
        } else if (message instanceof ForwardRequest forward) {
            packer.packLong(forward.callId()).packLong(forward.remainingMillis());
            RequestCodec.pack(packer, forward.request());
        } else if (message instanceof ForwardOutcome outcome) {
            packer.packLong(outcome.callId());
            RequestCodec.packOutcome(packer, outcome.outcome());
        }
    }

    private static PeerMessage unpack(int kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case CHALLENGE -> Challenge.of(ValueCodec.unpackBytes(unpacker));
            case HELLO -> Hello.of(EntryId.of(unpacker.unpackString()), ValueCodec.unpackBytes(unpacker));
            case HEARTBEAT -> HeartbeatFrame.of(ValueCodec.unpackBytes(unpacker), unpacker.unpackString());
            case CONFIGURATION_PUSH -> ConfigurationPush.of(ConfigurationUpdateCodec.unpack(unpacker));
            case CONFIGURATION_WANTED -> ConfigurationWanted.of(unpacker.unpackLong());
            case CORDON -> CordonNotice.of(unpackCordon(unpacker));
            case LEAVING -> LeavingNotice.of(WorkerId.of(unpacker.unpackString()), unpacker.unpackLong());
            case DRAIN_QUERY -> DrainQuery.of(unpacker.unpackLong(), unpackCordon(unpacker));
            case DRAIN_ANSWER -> DrainAnswer.of(unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackInt());
            case FORWARD_REQUEST ->
                ForwardRequest.of(unpacker.unpackLong(), unpacker.unpackLong(), RequestCodec.unpack(unpacker));
            case FORWARD_OUTCOME -> ForwardOutcome.of(unpacker.unpackLong(), RequestCodec.unpackOutcome(unpacker));
            case HAND_OVER -> HandOverNotice.of(HandOverCodec.unpack(unpacker));
            case UNCORDON_CALL -> UncordonCall.of(unpacker.unpackLong(), unpackCordon(unpacker), unpacker.unpackLong());
            case UNCORDON_ANSWER -> UncordonAnswer.of(unpacker.unpackLong(), unpacker.unpackBoolean());
            case POOL_CALL ->
                PoolCall.of(unpacker.unpackLong(), unpacker.unpackString(), ValueCodec.unpackBytes(unpacker));
            case POOL_ANSWER ->
                PoolAnswer.of(unpacker.unpackLong(), unpacker.unpackBoolean(), ValueCodec.unpackBytes(unpacker));
            default -> throw new MalformedFrameException("unknown message kind " + kind, null);
        };
    }

    private static CordonChange unpackCordon(MessageUnpacker unpacker) throws IOException {
        return CordonChange.of(
                PlanDigest.parse(unpacker.unpackString()),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                WorkerId.of(unpacker.unpackString()),
                unpacker.unpackBoolean());
    }
}
