package org.trefoilpost.decision.job.team;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Encodes and decodes the stored grants of a team.
 */
public final class TeamGrantsCodec {
    private static final int FORMAT = 1;

    /** The maximum number of rows, so that a malformed header cannot claim any number. */
    private static final int MAX_ROWS = 10_000;

    private TeamGrantsCodec() {}

    /**
     * Encodes grants.
     *
     * @param grants  the grants, whose revision is not encoded, not null
     * @return the bytes, not null
     */
    public static byte[] encode(TeamGrants grants) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT).packArrayHeader(grants.pools().size());
            for (Map.Entry<String, PoolGrant> entry : new TreeMap<>(grants.pools()).entrySet()) {
                PoolGrant row = entry.getValue();
                packer.packString(entry.getKey()).packLong(row.token());
                pack(packer, row.granted());
                pack(packer, row.wish());
                packer.packBoolean(row.exclusive());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes grants.
     *
     * @param bytes  the bytes, not null
     * @param revision  the revision of the key, greater than 0
     * @return the grants, not null
     * @throws IllegalArgumentException if the bytes are not grants of the supported format
     */
    public static TeamGrants decode(byte[] bytes, long revision) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int format = unpacker.unpackInt();
            int rows = format == FORMAT ? unpacker.unpackArrayHeader() : 0;
            if (format != FORMAT || rows > MAX_ROWS) {
                throw new IllegalArgumentException(
                        "unsupported grants of format " + format + " with " + rows + " rows");
            }
            Map<String, PoolGrant> pools = new TreeMap<>();
            for (int i = 0; i < rows; i++) {
                String pool = unpacker.unpackString();
                long token = unpacker.unpackLong();
                ResourceAmount granted = unpackAmount(unpacker);
                ResourceAmount wish = unpackAmount(unpacker);
                pools.put(pool, new PoolGrant(token, granted, wish, unpacker.unpackBoolean()));
            }
            if (unpacker.hasNext()) {
                throw new IllegalArgumentException("the grants are followed by further bytes");
            }
            return new TeamGrants(revision, pools);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed grants: " + e.getMessage(), e);
        }
    }

    private static void pack(MessageBufferPacker packer, ResourceAmount amount) throws IOException {
        packer.packLong(amount.cpuMillis()).packLong(amount.memoryMb()).packLong(amount.accelerators());
    }

    private static ResourceAmount unpackAmount(MessageUnpacker unpacker) throws IOException {
        ResourceAmount amount = new ResourceAmount(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
        if (!ResourceAmount.NONE.fitsIn(amount)) {
            throw new IllegalArgumentException("negative amount in the grants: " + amount);
        }
        return amount;
    }
}
